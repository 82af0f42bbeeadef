"""Stand in for model engines, plain services and the weight store."""
