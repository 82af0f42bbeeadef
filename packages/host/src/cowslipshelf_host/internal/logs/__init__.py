"""Write logs."""
