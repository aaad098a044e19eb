package setup

import "waxwing.example/croft"

// Entry holds the settings of the entry daemon.
type Entry struct {
	DataCentre      croft.DataCentre `validate:"required,ident" doc:"Data centre of this entry."`
	Callers         string           `validate:"addrport" doc:"Listen address for callers, an IP number and a port."`
	Operators       string           `validate:"addrport" doc:"Listen address for operators, an IP number and a port."`
	Peers           string           `validate:"addrport" doc:"Listen address for the other entries, which reach this one by it."`
	PlatformAddress string           `validate:"addrport" doc:"Address of the platform's HTTP interface, an IP number and a port."`
	SeedPeers       []string         `validate:"max=256,dive,addrport" doc:"Peer addresses of entries to look for first; the others are learned from them."`
	OperatorToken   string           `validate:"required,min=16,max=256,token" doc:"Bearer token that the operators' address asks for."`
	PeerKey         string           `validate:"required,min=16,max=256,token" doc:"Key by which entries know each other, the same on all of them."`
	Log             Log              `doc:"What is logged, and how."`
	Limits          Limits           `doc:"Bounds on what is taken from outside."`
	Timing          Timing           `doc:"Intervals and timeouts."`
	Policies        Policies         `doc:"Decision policies, each with a baseline for comparison."`
	Faults          Faults           `doc:"Faults that scenarios cause on purpose."`
}

// Log holds the settings of the log.
type Log struct {
	Format string `validate:"oneof=text json" doc:"Form of a log line."`
	Level  string `validate:"oneof=debug info warn error" doc:"Least level that is logged; decisions are logged at info."`
	Queue  int    `validate:"min=1,max=1048576" doc:"Lines waiting for the log's writer; what finds no room is dropped, counted and told in the log."`
}

// Limits holds the bounds on what is taken from outside.
type Limits struct {
	BodyBytes              int64 `validate:"min=1,max=67108864" doc:"Largest body of a caller's request, in bytes."`
	AnswerBytes            int64 `validate:"min=1,max=67108864" doc:"Largest body of an executor's answer, in bytes; a larger one leaves the outcome unknown."`
	HeaderBytes            int   `validate:"min=1024,max=1048576" doc:"Largest header block of a request, in bytes."`
	OperatorBytes          int64 `validate:"min=1024,max=67108864" doc:"Largest body on the operators' address, in bytes."`
	ConnectionsPerExecutor int   `validate:"min=1,max=1024" doc:"Most connections of this entry to one executor; an attempt that finds none free is not sent."`
}

// Timing holds the intervals and timeouts.
type Timing struct {
	TickMs         croft.Millis `validate:"min=10,max=10000" doc:"Interval of the control loop, in milliseconds."`
	ProbeMs        croft.Millis `validate:"min=50,max=60000" doc:"Interval of heartbeats to other entries, in milliseconds."`
	ProbeTimeoutMs croft.Millis `validate:"min=10,max=60000" doc:"Timeout of one heartbeat, in milliseconds."`
	PollMs         croft.Millis `validate:"min=50,max=60000" doc:"Interval of reads of the platform's VM list and table, in milliseconds."`
	PlatformMs     croft.Millis `validate:"min=10,max=60000" doc:"Timeout of one call to the platform, in milliseconds."`
	StopWaitMs     croft.Millis `validate:"min=0,max=600000" doc:"Time between failing readiness and refusing requests at a planned stop, in milliseconds."`
	StopMs         croft.Millis `validate:"max=3600000,gtfield=StopWaitMs" doc:"Longest planned stop, in milliseconds."`
}

// Policies selects the decision policies.
type Policies struct {
	Queue   string `validate:"oneof=Floors FirstCome" doc:"Admission: Floors keeps a share for each service and kind; FirstCome is the baseline for comparison."`
	Pick    string `validate:"oneof=TwoChoices RoundRobin" doc:"Choice of an executor: TwoChoices takes the less loaded of two at random; RoundRobin is the baseline for comparison."`
	Retry   string `validate:"oneof=Budget Always" doc:"Retries: Budget bounds them to a share of first attempts; Always is the baseline for comparison."`
	Claims  string `validate:"oneof=Log None" doc:"Requests that may not be repeated: Log claims each in the table first; None is the baseline for comparison."`
	Answers string `validate:"oneof=Checked Trusted" doc:"Answers of executors: Checked passes on only whole ones of the same attempt, and tells what did not run from what may have; Trusted passes on what arrives, takes every failure for not run, and is the baseline for comparison."`
	Leaving string `validate:"oneof=AllSources ListOnly" doc:"Executors that take no further work: AllSources believes the first of the VM list, an order, the executor and other entries; ListOnly believes the VM list and is the baseline for comparison."`
	Buffer  string `validate:"oneof=Measured Fixed" doc:"Spare VMs: Measured follows the failures seen; Fixed holds a fifth and is the baseline for comparison."`
	Fence   bool   `doc:"Whether every write carries the lease's fencing token; false is the baseline for comparison."`
	Config  string `validate:"oneof=Confirmed LastRead" doc:"Configuration: Confirmed takes higher versions only, also from peers; LastRead takes what a read of the platform says and is the baseline for comparison."`
}

// Faults holds what scenarios may do to the entry.
type Faults struct {
	Allowed bool `doc:"Whether the operators' address may cut this entry's links; for scenarios only."`
}

// DefaultEntry returns the settings that hold where a file says nothing; three fields have no default.
func DefaultEntry() Entry {
	return Entry{
		Callers:         "127.0.0.1:7400",
		Operators:       "127.0.0.1:7401",
		Peers:           "127.0.0.1:7402",
		PlatformAddress: "127.0.0.1:7500",
		SeedPeers:       []string{},
		Log:             Log{Format: "text", Level: "info", Queue: 16384},
		Limits:          defaultLimits(),
		Timing:          defaultTiming(),
		Policies: Policies{
			Queue:   "Floors",
			Pick:    "TwoChoices",
			Retry:   "Budget",
			Claims:  "Log",
			Answers: "Checked",
			Leaving: "AllSources",
			Buffer:  "Measured",
			Fence:   true,
			Config:  "Confirmed",
		},
	}
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:              1 << 20,
		AnswerBytes:            4 << 20,
		HeaderBytes:            16 << 10,
		OperatorBytes:          4 << 20,
		ConnectionsPerExecutor: 60,
	}
}

func defaultTiming() Timing {
	return Timing{
		TickMs:         100,
		ProbeMs:        croft.Second * 3 / 2,
		ProbeTimeoutMs: 500,
		PollMs:         croft.Second,
		PlatformMs:     croft.Second,
		StopWaitMs:     2 * croft.Second,
		StopMs:         30 * croft.Second,
	}
}

// ReadEntry returns the checked settings of an entry, or an *InvalidError that lists every fault with file, line and field.
func ReadEntry(name string, body []byte) (Entry, error) {
	e := DefaultEntry()
	err := Decode(name, body, &e)
	return e, err
}
