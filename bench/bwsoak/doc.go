package bwsoak
