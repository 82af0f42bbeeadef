"""Place the requests of an entry on upstreams, or queue or refuse them."""
