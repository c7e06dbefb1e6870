"""The link to the simulator: the decisions on its wire, without sockets."""
