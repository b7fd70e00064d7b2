// Command bilberrywick-gateway serves callers on the users' platform.
package main
