// Command bilberrywick runs routers and agents, the operators' commands, and
// stand-ins of outside systems.
package main
