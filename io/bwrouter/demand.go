package bwrouter

import (
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

// modelDemand counts the requests for one model and their output; traffic goroutines update it.
type modelDemand struct {
	// requests counts requests, and maxTokens is the sum of their token limits.
	requests  atomic.Int64
	maxTokens atomic.Int64
	// finished counts the requests that ended, and outputTokens their output.
	finished     atomic.Int64
	outputTokens atomic.Int64
}

// demandSample is the value of a modelDemand at one time.
type demandSample struct{ requests, maxTokens, finished, outputTokens int64 }

func (dem *modelDemand) sample() demandSample {
	return demandSample{
		requests: dem.requests.Load(), maxTokens: dem.maxTokens.Load(), finished: dem.finished.Load(), outputTokens: dem.outputTokens.Load(),
	}
}

// expectedTokens returns the tokens requested since an earlier sample: the new
// requests times the mean output of all that finished. Before any has finished it
// returns the sum of their token limits.
func (smp demandSample) expectedTokens(earlier demandSample) float64 {
	requested := float64(smp.requests - earlier.requests)
	if requested == 0 {
		return 0
	}
	if smp.finished == 0 {
		return float64(smp.maxTokens - earlier.maxTokens)
	}
	return requested * float64(smp.outputTokens) / float64(smp.finished)
}

// nextDemand returns counters for a service's models; models that remain keep theirs.
func nextDemand(svc bwmodel.Service, current map[string]*modelDemand) map[string]*modelDemand {
	next := make(map[string]*modelDemand, len(svc.Models))
	for _, mod := range svc.Models {
		next[mod.Name] = current[mod.Name]
		if next[mod.Name] == nil {
			next[mod.Name] = new(modelDemand)
		}
	}
	return next
}

// CountRequest counts a request for a model. It is called before admission, since
// refused work is demand too.
func (svs *Services) CountRequest(spec bwmodel.GenerationSpec) {
	if dem := svs.demandFor(spec); dem != nil {
		dem.requests.Add(1)
		dem.maxTokens.Add(int64(spec.MaxTokens))
	}
}

// CountOutput counts the output, in tokens, of a request that has ended.
func (svs *Services) CountOutput(spec bwmodel.GenerationSpec, tokens int) {
	if dem := svs.demandFor(spec); dem != nil {
		dem.finished.Add(1)
		dem.outputTokens.Add(int64(tokens))
	}
}

func (svs *Services) demandFor(spec bwmodel.GenerationSpec) *modelDemand {
	svc := svs.control.Snapshot().services[spec.Service]
	if svc == nil {
		return nil
	}
	return svc.demand[spec.Model]
}

// demandSamples returns the counters of a service's models in the service's order.
func (svs *Services) demandSamples(name bwmodel.ServiceID) []demandSample {
	svc := svs.control.Snapshot().services[name]
	if svc == nil {
		return nil
	}
	smps := make([]demandSample, 0, len(svc.spec.Models))
	for _, mod := range svc.spec.Models {
		smps = append(smps, svc.demand[mod.Name].sample())
	}
	return smps
}

// engineReports returns the last reports of the engines in the router's region that
// it follows for a service.
func (svs *Services) engineReports(svc bwmodel.Service) []bwwire.EngineReport {
	index := make(map[string]int, len(svc.Models))
	for ix, mod := range svc.Models {
		index[mod.Name] = ix
	}
	var reps []bwwire.EngineReport
	now := svs.cfg.Now()
	for name, flw := range svs.control.Snapshot().upstreams {
		ags := flw.status.Load()
		if ags == nil || flw.upstream.Service != svc.Name || flw.upstream.Region != svs.cfg.Self.Region {
			continue
		}
		rep := bwwire.EngineReport{
			Upstream:    name,
			Incarnation: ags.incarnation,
			Age:         now.Sub(ags.receivedAt).Truncate(time.Millisecond),
			Rate:        float32(ags.load.TokenRate * float64(ags.load.Slots)),
			Usable:      ags.connection.Err() == nil && !ags.leaving && !ags.load.UpstreamIsDown,
		}
		for _, mod := range ags.load.Models {
			if ix, ok := index[mod]; ok {
				rep.Models = append(rep.Models, ix)
			}
		}
		reps = append(reps, rep)
	}
	return reps
}
