package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name, callers, status string
	settings              string
	output                *os.File
	cmd                   *exec.Cmd
}

// freePort returns an address on which nothing listens, for TCP and UDP.
func freePort() (string, error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String(), nil
}

// startGateway starts a gateway with the command of deploy/system.toml and settings like
// those of a small deployment, as deploy/gateway.json lays them out.
func startGateway(scr *script, name, zone string) (*gatewayProcess, error) {
	var addrs [3]string
	for ix := range addrs {
		addr, err := freePort()
		if err != nil {
			return nil, err
		}
		addrs[ix] = addr
	}
	settings, err := json.MarshalIndent(map[string]any{
		"Member": name, "Zone": zone, "Region": "addis", "Callers": addrs[0], "Status": addrs[1], "Peers": addrs[2], "Store": scr.sto.address(),
		"GraceTime": "8s", "LeaveTime": "2000ms", "ChangeTime": "2000ms", "RetryShare": 0.8, "RetrySlack": 150, "RetryWindow": "10s", "MemoryLimit": scr.memoryMb,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(scr.dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(scr.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	gwp := &gatewayProcess{name: name, callers: addrs[0], status: addrs[1], settings: path, output: output}
	if err := gwp.start(); err != nil {
		return nil, err
	}
	scr.gateways = append(scr.gateways, gwp)
	scr.rec.printf("gateway %s starts, callers at %s", name, gwp.callers)
	return gwp, gwp.awaitReady()
}

// start starts the process, also after it has ended.
func (gwp *gatewayProcess) start() error {
	command := strings.Fields("target/bilberrywick-gateway serve --settings " + gwp.settings)
	gwp.cmd = exec.Command(command[0], command[1:]...)
	gwp.cmd.Stdout, gwp.cmd.Stderr = gwp.output, gwp.output
	gwp.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return gwp.cmd.Start()
}

func (gwp *gatewayProcess) awaitReady() error {
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		rsp, err := http.Get("http://" + gwp.status + "/ready")
		if err != nil {
			continue
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: gateway %s is not ready", errSetup, gwp.name)
}

// graceTime is the time from SIGTERM to SIGKILL (graceS of the settings).
const graceTime = 8 * time.Second

// stop stops the process as the platform does: SIGTERM, then SIGKILL after graceTime.
func (gwp *gatewayProcess) stop() {
	_ = gwp.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() { _ = gwp.cmd.Process.Kill() })
	_ = gwp.cmd.Wait()
	kill.Stop()
}

func (gwp *gatewayProcess) end() {
	_ = gwp.cmd.Process.Kill()
	_ = gwp.cmd.Wait()
}
