"""Hold what the weight store's client is made of."""
