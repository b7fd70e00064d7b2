// Package bwlauncher implements the commands that run processes: router, agent,
// dev, bench, soak, capacity and the stand-ins.
package bwlauncher
