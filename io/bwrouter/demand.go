package bwrouter

import (
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

// modelDemand counts what callers ask of one model; traffic goroutines add to it.
type modelDemand struct {
	// asked and limit are the requests and the sum of their token limits.
	asked atomic.Int64
	limit atomic.Int64
	// ended and produced are the requests that ended and their tokens.
	ended    atomic.Int64
	produced atomic.Int64
}

// demandSample is a modelDemand at one time.
type demandSample struct{ asked, limit, ended, produced int64 }

func (dem *modelDemand) sample() demandSample {
	return demandSample{
		asked: dem.asked.Load(), limit: dem.limit.Load(), ended: dem.ended.Load(), produced: dem.produced.Load(),
	}
}

// tokens returns the tokens asked for since an earlier sample: the requests
// times the mean output of those that ended, or times their limit before any has.
func (smp demandSample) tokens(before demandSample) float64 {
	asked := float64(smp.asked - before.asked)
	if asked == 0 {
		return 0
	}
	if smp.ended == 0 {
		return float64(smp.limit - before.limit)
	}
	return asked * float64(smp.produced) / float64(smp.ended)
}

// newDemand returns counters for a service's models, and keeps those in use.
func newDemand(svc bwmodel.Service, old map[string]*modelDemand) map[string]*modelDemand {
	next := make(map[string]*modelDemand, len(svc.Models))
	for _, mod := range svc.Models {
		next[mod.Name] = old[mod.Name]
		if next[mod.Name] == nil {
			next[mod.Name] = new(modelDemand)
		}
	}
	return next
}

// CountRequest counts a request for a model before its admission, since refused work
// is demand too.
func (svs *Services) CountRequest(spec bwmodel.GenerationSpec) {
	if dem := svs.demand(spec); dem != nil {
		dem.asked.Add(1)
		dem.limit.Add(int64(spec.MaxTokens))
	}
}

// CountOutput counts the output of a request that has ended.
func (svs *Services) CountOutput(spec bwmodel.GenerationSpec, tokens int) {
	if dem := svs.demand(spec); dem != nil {
		dem.ended.Add(1)
		dem.produced.Add(int64(tokens))
	}
}

func (svs *Services) demand(spec bwmodel.GenerationSpec) *modelDemand {
	svc := svs.own.Snapshot().services[spec.Service]
	if svc == nil {
		return nil
	}
	return svc.demand[spec.Model]
}

// samples returns the counters of a service's models, in the order of the service.
func (svs *Services) samples(name bwmodel.ServiceID) []demandSample {
	svc := svs.own.Snapshot().services[name]
	if svc == nil {
		return nil
	}
	smps := make([]demandSample, 0, len(svc.spec.Models))
	for _, mod := range svc.spec.Models {
		smps = append(smps, svc.demand[mod.Name].sample())
	}
	return smps
}

// engineReports returns what the router knows of the engines that it follows
// for a service in its region.
func (svs *Services) engineReports(svc bwmodel.Service) []bwwire.EngineReport {
	index := make(map[string]int, len(svc.Models))
	for ix, mod := range svc.Models {
		index[mod.Name] = ix
	}
	var reps []bwwire.EngineReport
	now := svs.cfg.Now()
	for name, fol := range svs.own.Snapshot().upstreams {
		rdg := fol.reading.Load()
		if rdg == nil || fol.upstream.Service != svc.Name || fol.upstream.Region != svs.cfg.Self.Region {
			continue
		}
		rep := bwwire.EngineReport{
			Upstream:    name,
			Incarnation: rdg.incarnation,
			Age:         now.Sub(rdg.arrived).Truncate(time.Millisecond),
			Rate:        float32(rdg.load.TokenRate * float64(rdg.load.Slots)),
			Usable:      rdg.connected.Err() == nil && !rdg.leaving && !rdg.load.UpstreamIsDown,
		}
		for _, mod := range rdg.load.Models {
			if ix, ok := index[mod]; ok {
				rep.Models = append(rep.Models, ix)
			}
		}
		reps = append(reps, rep)
	}
	return reps
}
