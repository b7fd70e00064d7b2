// Package bwfakeserver simulates a faulty HTTP server that sends any bytes as a response.
package bwfakeserver
