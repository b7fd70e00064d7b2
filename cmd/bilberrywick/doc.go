// Command bilberrywick runs routers, agents, operators' commands and stand-ins.
package main
