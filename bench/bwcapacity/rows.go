package bwcapacity

import "time"

// Rates of the mechanisms that the design fixes.
const (
	// reportRate is the reports that an agent sends to each router in a second.
	reportRate = 1
	// refreshRate is how often a chooser compares its upstreams in a second.
	refreshRate = 4
	// pollRate is the reads of the head by one watcher in a second.
	pollRate = 2
	// watchersPerZone routers poll the head.
	watchersPerZone = 2
	// leaseRate is the renewals of one lease in a second: a third of a TTL of 10 s.
	leaseRate = 0.3
)

// sharedRows are the costs of keeping current, which routers and agents share;
// known is the number of members that the process knows.
func (cst *costs) sharedRows(role string, known float64, exchanges []Point) []Row {
	scl := cst.scl
	changes := scl.ChangeRate()
	_, growth := fit(exchanges)
	quiet := at(exchanges, growth, scl.Processes())
	return []Row{
		{
			Role: role, Item: "tickets in effect", Mechanism: "snapshot of the whole state", Control: true,
			Memory:    cst.at(StateTeamBytes, float64(scl.Teams)) + cst.at(StateUpstreamBytes, float64(scl.Engines)),
			Processor: cst.nanos(ApplyTime, float64(max(scl.Teams, scl.Engines)), changes),
		},
		{
			Role: role, Item: "new tickets", Mechanism: "push across regions, zones and to agents; pull of the ticket", Control: true,
			Messages:  changes * 2 * ticketMessages,
			Traffic:   changes * (2*ticketBytes + 2*cst.at(TicketBytes, 1) + 2*ticketMessages*frameBytes),
			Processor: cst.nanos(ExchangeTime, 1, changes*ticketMessages) + cst.nanos(TicketTime, 1, changes),
		},
		{
			Role: role, Item: "members", Mechanism: "three overseers call each router each second; changes pushed; digests", Control: true,
			Memory:    cst.at(DirectoryBytes, known),
			Messages:  2 * exchangeMessages,
			Traffic:   quiet + 2*exchangeMessages*frameBytes,
			Processor: cst.nanos(ExchangeTime, 1, exchangeMessages) + cst.nanos(EntriesTime, known, scl.MemberChangeRate()),
		},
	}
}

// Figures of the dissemination test in io/bwfleet, at 136 to 1,088 processes in
// virtual time: docs/notes/dissemination.md gives the command.
var (
	// routerExchanges and agentExchanges are the bytes that a router and an agent
	// send and receive in a second without changes, by the number of processes.
	routerExchanges = []Point{{136, 1570}, {272, 1592}, {544, 1593}, {1088, 1567}}
	agentExchanges  = []Point{{136, 139}, {272, 139}, {544, 139}, {1088, 139}}
)

const (
	// exchangeMessages are the messages that a process sends in a second.
	exchangeMessages = 3.5
	// ticketMessages and ticketBytes are what a process sends for one ticket at
	// 4,000 processes: each doubling adds 2.4 messages and 170 bytes.
	ticketMessages = 26
	ticketBytes    = 1950
)

// at extends the last point along a slope; one that falls counts as flat.
func at(points []Point, growth, size float64) float64 {
	last := points[len(points)-1]
	return last.Value + max(growth, 0)*(size-float64(last.Size))
}

func (cst *costs) routerRows() []Row {
	scl := cst.scl
	followed := scl.FollowedUpstreams()
	perChooser := float64(scl.FollowedPerService)
	changes := scl.ChangeRate() + scl.MemberChangeRate()
	return []Row{
		{
			Role: routerRole, Item: "load, health and clocks of upstreams", Mechanism: "status streams of a subset of 6 for each model", Control: true,
			Memory:    float64(scl.Models) * cst.at(ChooserBytes, perChooser),
			Messages:  followed * reportRate,
			Traffic:   followed * reportRate * (cst.at(StatusBytes, 0) + frameBytes),
			Processor: cst.nanos(StatusTime, 0, followed*reportRate/2) + cst.nanos(ObserveTime, perChooser, followed*reportRate),
		},
		{
			Role: routerRole, Item: "prefix caches", Mechanism: "noted from own requests; events are read by routers that follow up to 64 upstreams", Control: true,
			Processor:  cst.nanos(RecordPrefixTime, scl.PromptTokens/scl.BlockTokens, scl.RouterRequests()),
			Unmeasured: "prompts of 500 tokens in blocks of 16",
		},
		{
			Role: routerRole, Item: "comparison of upstreams", Mechanism: "medians four times a second", Control: true,
			Processor: cst.nanos(RefreshTime, perChooser, refreshRate*float64(scl.Models)),
		},
		{
			Role: routerRole, Item: "teams in queues and keys", Mechanism: "rebuilt at each change", Control: true,
			Memory:    cst.at(QueueBytes, float64(scl.Teams)) * float64(scl.Models),
			Processor: cst.nanos(KeyIndexTime, float64(scl.Teams), changes),
		},
	}
}

// trafficRows are the costs of serving callers, which the budget of control leaves out.
func (cst *costs) trafficRows() []Row {
	scl := cst.scl
	tokens, requests, open := scl.RouterTokens(), scl.RouterRequests(), scl.OpenGenerations()
	record := cst.at(RecordBytes, scl.TokensPerRequest()+scl.PromptTokens)
	return []Row{
		{
			Role: routerRole, Item: "tokens from agents", Mechanism: "one stream for each generation", Messages: tokens,
			Traffic:   tokens * (cst.at(GenerateBytes, 1) + frameBytes),
			Processor: cst.nanos(GenerateTime, 1, tokens/2),
		},
		{
			Role: routerRole, Item: "records sent to holders", Mechanism: "batched appends on one stream for each pair", Messages: tokens,
			Memory:    open * record,
			Traffic:   tokens * cst.slope(AppendBytes),
			Processor: time.Duration(tokens * cst.slope(AppendTime) / 2),
		},
		{
			Role: routerRole, Item: "records held for other routers", Mechanism: "append in memory and acknowledgement", Messages: tokens,
			Memory:    open * record,
			Traffic:   tokens * cst.slope(AppendBytes),
			Processor: time.Duration(tokens*cst.slope(AppendTime)/2) + cst.nanos(HolderAppendTime, open, tokens),
		},
		{
			Role: routerRole, Item: "admission and choice", Mechanism: "queue and chooser for each service", Messages: requests,
			Processor: cst.nanos(AdmitTime, float64(scl.Teams), requests) + cst.nanos(ChooseTime, float64(scl.FollowedPerService), requests),
		},
	}
}

func (cst *costs) agentRows() []Row {
	scl := cst.scl
	followers := scl.Followers()
	perEngine := scl.TokenRate / float64(scl.Engines)
	return []Row{
		{
			Role: agentRole, Item: "load, health and clock", Mechanism: "a report a second to each router that follows", Control: true,
			Messages:  followers * reportRate,
			Traffic:   followers * reportRate * (cst.at(StatusBytes, 0) + frameBytes),
			Processor: cst.nanos(StatusTime, 0, followers*reportRate/2),
		},
		{
			Role: agentRole, Item: "tokens to routers", Mechanism: "one stream for each generation", Messages: perEngine,
			Traffic:   perEngine * (cst.at(GenerateBytes, 1) + frameBytes),
			Processor: cst.nanos(GenerateTime, 1, perEngine/2),
		},
	}
}

func (cst *costs) tableRows() []Row {
	scl := cst.scl
	duties := float64(scl.Models * scl.Regions)
	return []Row{
		{
			Role: tableRole, Item: "reads of the head", Mechanism: "two routers of each zone, twice a second",
			Messages: float64(scl.Zones) * watchersPerZone * pollRate, Control: true,
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

// frameBytes is the overhead of drpc and TCP framing of one small message.
const frameBytes = 8

// actionWrites are the transactions a second that the table has left for actions.
const actionWrites = 250

// slope returns the cost of one more unit.
func (cst *costs) slope(name string) float64 { return cst.at(name, 1) - cst.at(name, 0) }
