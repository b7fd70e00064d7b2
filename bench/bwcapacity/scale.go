package bwcapacity

// Scale describes the size and the load of a fleet.
type Scale struct {
	Routers      int
	Engines      int
	Accelerators int
	// RequestRate and TokenRate are per second at the peak.
	RequestRate float64
	TokenRate   float64
	Teams       int
	Models      int
	Regions     int
	Zones       int
	// DailyChanges (of the configuration), DailyFailures and DailyReplacements (of
	// processes) are counts per day.
	DailyChanges      float64
	DailyFailures     float64
	DailyReplacements float64
	// FollowedPerService is the number of upstreams that a router follows for one
	// service.
	FollowedPerService int
	// PromptTokens is the mean length of a prompt, and BlockTokens the number of
	// tokens in one block of an engine's prefix cache; both are assumptions.
	PromptTokens float64
	BlockTokens  float64
}

// TargetScale returns the scale that the design is made for.
func TargetScale() Scale {
	return Scale{
		Routers:            1000,
		Engines:            3000,
		Accelerators:       24000,
		RequestRate:        14000,
		TokenRate:          6.5e6,
		Teams:              3100,
		Models:             16,
		Regions:            6,
		Zones:              17,
		DailyChanges:       3800,
		DailyFailures:      27,
		DailyReplacements:  940,
		FollowedPerService: 6,
		PromptTokens:       500,
		BlockTokens:        16,
	}
}

const secondsPerDay = 24 * 60 * 60

// Processes returns the number of routers and agents.
func (scl Scale) Processes() float64 { return float64(scl.Routers + scl.Engines) }

// ChangeRate returns the configuration changes per second.
func (scl Scale) ChangeRate() float64 { return scl.DailyChanges / secondsPerDay }

// MemberChangeRate returns the processes per second that fail or are replaced.
func (scl Scale) MemberChangeRate() float64 {
	return (scl.DailyFailures + scl.DailyReplacements) / secondsPerDay
}

// RouterRequests returns the requests per second of one router at the peak.
func (scl Scale) RouterRequests() float64 { return scl.RequestRate / float64(scl.Routers) }

// RouterTokens returns the tokens per second that one router delivers at the peak.
func (scl Scale) RouterTokens() float64 { return scl.TokenRate / float64(scl.Routers) }

// TokensPerRequest returns the mean length of an output in tokens.
func (scl Scale) TokensPerRequest() float64 { return scl.TokenRate / scl.RequestRate }

// OpenGenerations returns the generations in progress on one router, from the
// mean length of an output and the time between its tokens.
func (scl Scale) OpenGenerations() float64 {
	return scl.RouterRequests() * scl.TokensPerRequest() * tokenGap.Seconds()
}

// FollowedUpstreams returns the number of status streams that one router opens.
func (scl Scale) FollowedUpstreams() float64 { return float64(scl.Models * scl.FollowedPerService) }

// Followers returns the number of routers that follow one agent.
func (scl Scale) Followers() float64 {
	return float64(scl.Routers) * scl.FollowedUpstreams() / float64(scl.Engines)
}
