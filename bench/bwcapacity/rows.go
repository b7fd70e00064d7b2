package bwcapacity

import "time"

// Rates per second that follow from the design.
const (
	// reportRate is the rate of an agent's status messages to each router.
	reportRate = 1
	// refreshRate is the rate at which a chooser compares its upstreams.
	refreshRate = 4
	// pollRate is the rate at which a store poller reads the head.
	pollRate = 2
	// pollersPerZone is the number of routers in a zone that poll the head.
	pollersPerZone = 2
	// leaseRate is the rate of renewals of one lease: one each third of the TTL
	// of 10 s.
	leaseRate = 0.3
)

// sharedRows returns the costs that routers and agents share: those of tickets and
// members. memberCount is the number of members in the process's directory.
func (cst *costModel) sharedRows(role string, memberCount float64, exchanges []Point) []Row {
	scl := cst.scl
	changes := scl.ChangeRate()
	_, growth := fit(exchanges)
	idleTraffic := extrapolate(exchanges, growth, scl.Processes())
	return []Row{
		{
			Role: role, Item: "tickets in effect", Mechanism: "snapshot of the whole state", Control: true,
			Memory:    cst.cost(StateTeamBytes, float64(scl.Teams)) + cst.cost(StateUpstreamBytes, float64(scl.Engines)),
			Processor: cst.cpuTime(ApplyTime, float64(max(scl.Teams, scl.Engines)), changes),
		},
		{
			Role: role, Item: "new tickets", Mechanism: "push across regions, zones and to agents; pull of the ticket", Control: true,
			Messages:  changes * 2 * ticketMessages,
			Traffic:   changes * (2*ticketBytes + 2*cst.cost(TicketBytes, 1) + 2*ticketMessages*frameBytes),
			Processor: cst.cpuTime(ExchangeTime, 1, changes*ticketMessages) + cst.cpuTime(TicketTime, 1, changes),
		},
		{
			Role: role, Item: "members", Mechanism: "three overseers call each router each second; changes pushed; digests", Control: true,
			Memory:    cst.cost(DirectoryBytes, memberCount),
			Messages:  2 * exchangeMessages,
			Traffic:   idleTraffic + 2*exchangeMessages*frameBytes,
			Processor: cst.cpuTime(ExchangeTime, 1, exchangeMessages) + cst.cpuTime(EntriesTime, memberCount, scl.MemberChangeRate()),
		},
	}
}

// Measured by the dissemination test in io/bwfleet with 136 to 1,088 processes in
// virtual time; docs/notes/dissemination.md gives the command.
var (
	// routerExchanges and agentExchanges are the bytes per second that a router and
	// an agent send and receive when nothing changes, by the number of processes.
	routerExchanges = []Point{{136, 1570}, {272, 1592}, {544, 1593}, {1088, 1567}}
	agentExchanges  = []Point{{136, 139}, {272, 139}, {544, 139}, {1088, 139}}
)

const (
	// exchangeMessages is the number of exchange messages that a process sends per
	// second.
	exchangeMessages = 3.5
	// ticketMessages and ticketBytes are the messages and bytes that a process
	// sends for one ticket at 4,000 processes; each doubling of the number of
	// processes adds 2.4 messages and 170 bytes.
	ticketMessages = 26
	ticketBytes    = 1950
)

// extrapolate returns the value at a size beyond the last point. A negative growth
// counts as zero.
func extrapolate(points []Point, growth, size float64) float64 {
	last := points[len(points)-1]
	return last.Value + max(growth, 0)*(size-float64(last.Size))
}

func (cst *costModel) routerRows() []Row {
	scl := cst.scl
	followed := scl.FollowedUpstreams()
	perChooser := float64(scl.FollowedPerService)
	changes := scl.ChangeRate() + scl.MemberChangeRate()
	return []Row{
		{
			Role: routerRole, Item: "load, health and clocks of upstreams", Mechanism: "status streams of a subset of 6 for each model", Control: true,
			Memory:    float64(scl.Models) * cst.cost(ChooserBytes, perChooser),
			Messages:  followed * reportRate,
			Traffic:   followed * reportRate * (cst.cost(StatusBytes, 0) + frameBytes),
			Processor: cst.cpuTime(StatusTime, 0, followed*reportRate/2) + cst.cpuTime(ObserveTime, perChooser, followed*reportRate),
		},
		{
			Role: routerRole, Item: "prefix caches", Mechanism: "noted from own requests; events are read by routers that follow up to 64 upstreams", Control: true,
			Processor:  cst.cpuTime(RecordPrefixTime, scl.PromptTokens/scl.BlockTokens, scl.RouterRequests()),
			Unmeasured: "prompts of 500 tokens in blocks of 16",
		},
		{
			Role: routerRole, Item: "comparison of upstreams", Mechanism: "medians four times a second", Control: true,
			Processor: cst.cpuTime(RefreshTime, perChooser, refreshRate*float64(scl.Models)),
		},
		{
			Role: routerRole, Item: "teams in queues and keys", Mechanism: "rebuilt at each change", Control: true,
			Memory:    cst.cost(QueueBytes, float64(scl.Teams)) * float64(scl.Models),
			Processor: cst.cpuTime(KeyIndexTime, float64(scl.Teams), changes),
		},
	}
}

// trafficRows returns the costs of serving requests, which the control-plane
// budget does not include.
func (cst *costModel) trafficRows() []Row {
	scl := cst.scl
	tokens, requests, open := scl.RouterTokens(), scl.RouterRequests(), scl.OpenGenerations()
	record := cst.cost(RecordBytes, scl.TokensPerRequest()+scl.PromptTokens)
	return []Row{
		{
			Role: routerRole, Item: "tokens from agents", Mechanism: "one stream for each generation", Messages: tokens,
			Traffic:   tokens * (cst.cost(GenerateBytes, 1) + frameBytes),
			Processor: cst.cpuTime(GenerateTime, 1, tokens/2),
		},
		{
			Role: routerRole, Item: "records sent to holders", Mechanism: "batched appends on one stream for each pair", Messages: tokens,
			Memory:    open * record,
			Traffic:   tokens * cst.costPerUnit(AppendBytes),
			Processor: time.Duration(tokens * cst.costPerUnit(AppendTime) / 2),
		},
		{
			Role: routerRole, Item: "records held for other routers", Mechanism: "append in memory and acknowledgement", Messages: tokens,
			Memory:    open * record,
			Traffic:   tokens * cst.costPerUnit(AppendBytes),
			Processor: time.Duration(tokens*cst.costPerUnit(AppendTime)/2) + cst.cpuTime(HolderAppendTime, open, tokens),
		},
		{
			Role: routerRole, Item: "admission and choice", Mechanism: "queue and chooser for each service", Messages: requests,
			Processor: cst.cpuTime(AdmitTime, float64(scl.Teams), requests) + cst.cpuTime(ChooseTime, float64(scl.FollowedPerService), requests),
		},
	}
}

func (cst *costModel) agentRows() []Row {
	scl := cst.scl
	followers := scl.Followers()
	perEngine := scl.TokenRate / float64(scl.Engines)
	return []Row{
		{
			Role: agentRole, Item: "load, health and clock", Mechanism: "a report a second to each router that follows", Control: true,
			Messages:  followers * reportRate,
			Traffic:   followers * reportRate * (cst.cost(StatusBytes, 0) + frameBytes),
			Processor: cst.cpuTime(StatusTime, 0, followers*reportRate/2),
		},
		{
			Role: agentRole, Item: "tokens to routers", Mechanism: "one stream for each generation", Messages: perEngine,
			Traffic:   perEngine * (cst.cost(GenerateBytes, 1) + frameBytes),
			Processor: cst.cpuTime(GenerateTime, 1, perEngine/2),
		},
	}
}

func (cst *costModel) tableRows() []Row {
	scl := cst.scl
	duties := float64(scl.Models * scl.Regions)
	return []Row{
		{
			Role: tableRole, Item: "reads of the head", Mechanism: "two routers of each zone, twice a second",
			Messages: float64(scl.Zones) * pollersPerZone * pollRate, Control: true,
		},
		{
			Role: tableRole, Item: "accepted tickets", Mechanism: "one transaction for each",
			Messages: scl.ChangeRate(), Control: true,
		},
		{
			Role: tableRole, Item: "leases of duties", Mechanism: "one row for each model and region, renewed every 3.3 s",
			Messages: duties * leaseRate, Control: true,
		},
		{
			Role: tableRole, Item: "starts of processes", Mechanism: "read of the state from a peer or the object store",
			Messages: scl.MemberChangeRate(), Control: true,
		},
		{
			Role: tableRole, Item: "actions", Mechanism: "a reservation and a result, grouped in transactions of up to 100 rows",
			Messages: actionWrites, Unmeasured: "several hundred writes a second, less the rows above; the share of actions at peak is not stated",
		},
	}
}

// frameBytes is the overhead of drpc and TCP framing for one small message.
const frameBytes = 8

// actionWrites is the assumed number of table transactions per second that remain
// for actions.
const actionWrites = 250

// costPerUnit returns the cost of one additional unit.
func (cst *costModel) costPerUnit(name string) float64 { return cst.cost(name, 1) - cst.cost(name, 0) }
