"""Tasks that own sockets, and the process that supervises them."""
