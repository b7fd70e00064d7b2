// Package bwfakeapp is a stand-in for a plain application service, with faults to order.
package bwfakeapp
