package bwdev

import (
	"fmt"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwsettings"
)

// PlatformNode is the platform's name in the fleet's network; routers and agents
// have their member's, and engines and apps their upstream's.
const PlatformNode = "platform"

// Router returns the current router of an index.
func (flt *Fleet) Router(index int) *bwrouter.Router {
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	return flt.Routers[index]
}

// Agents returns the current agents by their upstream.
func (flt *Fleet) Agents() map[bwmodel.UpstreamID]*bwagent.Agent {
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	agents := make(map[bwmodel.UpstreamID]*bwagent.Agent)
	for _, eng := range flt.Engines {
		agents[eng.Name] = eng.Agent
	}
	for _, app := range flt.Apps {
		agents[app.Name] = app.Agent
	}
	return agents
}

// RestartRouter ends a router at once and starts a new incarnation on the same
// settings and ports.
func (flt *Fleet) RestartRouter(index int) error {
	// The old router's connections end first, since both use the same ports.
	if err := flt.Router(index).Kill(); err != nil {
		return fmt.Errorf("end router %d: %w", index, err)
	}
	rtr, err := flt.newRouter(flt.settings[index])
	if err != nil {
		return err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.Routers[index] = rtr
	return nil
}

// RestartAgent ends the agent of an upstream at once and starts a new
// incarnation on the same settings and ports.
func (flt *Fleet) RestartAgent(name bwmodel.UpstreamID) error {
	agent, set, err := flt.agentOf(name)
	if err != nil {
		return err
	}
	flt.mu.RLock()
	old := *agent
	flt.mu.RUnlock()
	if err := old.Kill(); err != nil {
		return fmt.Errorf("end agent of %s: %w", name, err)
	}
	agt, err := flt.newAgent(set)
	if err != nil {
		return err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	*agent = agt
	return nil
}

// agentOf returns where the agent of an upstream is kept, and its settings.
func (flt *Fleet) agentOf(name bwmodel.UpstreamID) (**bwagent.Agent, bwsettings.Agent, error) {
	for _, eng := range flt.Engines {
		if eng.Name == name {
			return &eng.Agent, eng.settings, nil
		}
	}
	for _, app := range flt.Apps {
		if app.Name == name {
			return &app.Agent, app.settings, nil
		}
	}
	return nil, bwsettings.Agent{}, fmt.Errorf("no upstream %s", name)
}
