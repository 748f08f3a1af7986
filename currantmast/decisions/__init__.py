"""Decision logic without sockets: messages and a clock in, decisions out."""
