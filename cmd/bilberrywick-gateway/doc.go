// Command bilberrywick-gateway runs a gateway that forwards callers' requests
// to the upstreams of the users' platform.
package main
