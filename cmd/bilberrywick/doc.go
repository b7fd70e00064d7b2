// Command bilberrywick runs routers and agents, the operators' commands, and
// stand-ins for external systems.
package main
