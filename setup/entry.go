package setup

import "waxwing.example/croft"

// Entry holds the settings of the entry daemon.
type Entry struct {
	DataCentre      croft.DataCentre `validate:"required,ident" doc:"Data centre of this entry."`
	Callers         string           `validate:"addrport" doc:"Listen address for callers, an IP number and a port."`
	Operators       string           `validate:"addrport" doc:"Listen address for operators, an IP number and a port."`
	Peers           string           `validate:"addrport" doc:"Listen address for other entries, an IP number and a port; it is announced to them as the address of this entry."`
	PlatformAddress string           `validate:"addrport" doc:"Address of the platform's HTTP interface, an IP number and a port."`
	SeedPeers       []string         `validate:"max=256,dive,addrport" doc:"Addresses of other entries to contact first; the addresses of the remaining entries are received from these."`
	OperatorToken   string           `validate:"required,min=16,max=256,token" doc:"Bearer token required on the address for operators."`
	PeerKey         string           `validate:"required,min=16,max=256,token" doc:"Shared key by which entries authenticate each other, the same on all entries."`
	Log             Log              `doc:"Format and level of the log."`
	Limits          Limits           `doc:"Limits on requests, answers and connections."`
	Timing          Timing           `doc:"Intervals and timeouts."`
	Policies        Policies         `doc:"Decision policies, each with a simpler baseline for comparison."`
	Faults          Faults           `doc:"Fault injection by scenario tests."`
}

// Log holds the settings of the log.
type Log struct {
	Format string `validate:"oneof=text json" doc:"Format of a log line."`
	Level  string `validate:"oneof=debug info warn error" doc:"Lowest level that is logged; decisions are logged at info."`
	Queue  int    `validate:"min=1,max=1048576" doc:"Maximum number of log lines that wait to be written; further lines are dropped, and the number dropped is logged."`
}

// Limits holds the limits on requests, answers and connections.
type Limits struct {
	BodyBytes              int64 `validate:"min=1,max=67108864" doc:"Maximum size of the body of a caller's request, in bytes."`
	AnswerBytes            int64 `validate:"min=1,max=67108864" doc:"Maximum size of the body of an executor's answer, in bytes; the outcome of a request with a larger answer is unknown."`
	HeaderBytes            int   `validate:"min=1024,max=1048576" doc:"Maximum size of the headers of a request, in bytes."`
	OperatorBytes          int64 `validate:"min=1024,max=67108864" doc:"Maximum size of a body on the address for operators, in bytes."`
	MemoryMB               int64 `validate:"min=64,max=1048576" doc:"Memory of the process, in megabytes; the limits on connections, bodies and answers that are open at once follow from it."`
	Descriptors            int64 `validate:"min=0,max=1048576" doc:"Maximum number of open descriptors, from which the limits on connections follow; zero takes the limit of the process."`
	ConnectionsPerExecutor int   `validate:"min=1,max=1024" doc:"Maximum number of connections from this entry to one executor; an attempt is not sent if none is free."`
}

// Timing holds the intervals and timeouts.
type Timing struct {
	TickMs         croft.Millis `validate:"min=10,max=10000" doc:"Interval of the control loop, in milliseconds."`
	ProbeMs        croft.Millis `validate:"min=50,max=60000" doc:"Interval between heartbeats to other entries, in milliseconds."`
	ProbeTimeoutMs croft.Millis `validate:"min=10,max=60000" doc:"Timeout of one heartbeat, in milliseconds."`
	PollMs         croft.Millis `validate:"min=50,max=60000" doc:"Interval between reads of the platform's VM list and table, in milliseconds."`
	PlatformMs     croft.Millis `validate:"min=10,max=60000" doc:"Timeout of one call to the platform, in milliseconds."`
	HeadersMs      croft.Millis `validate:"min=10,max=600000" doc:"Time for the headers of a request to arrive, in milliseconds."`
	IdleMs         croft.Millis `validate:"min=10,max=3600000" doc:"Time after which a connection without a request is closed, in milliseconds."`
	BodyMs         croft.Millis `validate:"min=10,max=600000" doc:"Time for the body of a request to arrive, in milliseconds."`
	StopWaitMs     croft.Millis `validate:"min=0,max=600000" doc:"Time at a planned stop between reporting not ready and refusing requests, in milliseconds."`
	StopMs         croft.Millis `validate:"max=3600000,gtfield=StopWaitMs" doc:"Timeout of a planned stop, in milliseconds."`
}

// Policies selects the decision policies.
type Policies struct {
	Queue   string `validate:"oneof=Floors FirstCome" doc:"Admission: Floors reserves a share for each service and kind; FirstCome, the baseline for comparison, admits in order of arrival."`
	Pick    string `validate:"oneof=TwoChoices RoundRobin" doc:"Choice of an executor: TwoChoices takes the less loaded of two chosen at random; RoundRobin is the baseline for comparison."`
	Retry   string `validate:"oneof=Budget Always" doc:"Retries: Budget limits them to a share of first attempts; Always is the baseline for comparison."`
	Claims  string `validate:"oneof=Log None" doc:"Requests that must not be repeated: Log writes a claim for each to the table first; None is the baseline for comparison."`
	Answers string `validate:"oneof=Checked Trusted" doc:"Answers of executors: Checked passes on only complete answers to the same attempt, and distinguishes failures in which the request did not run from those in which it may have run; Trusted, the baseline for comparison, passes on any answer and treats every failure as not run."`
	Leaving string `validate:"oneof=AllSources ListOnly" doc:"Sources that report an executor as leaving: AllSources uses the VM list, orders, the executor itself and other entries, whichever reports it first; ListOnly, the baseline for comparison, uses only the VM list."`
	Buffer  string `validate:"oneof=Measured Fixed" doc:"Number of spare VMs: Measured calculates it from observed failures; Fixed, the baseline for comparison, is a fifth of the VMs needed."`
	Fence   bool   `doc:"Whether every write carries the lease's fencing token; false is the baseline for comparison."`
	Config  string `validate:"oneof=Confirmed LastRead" doc:"Configuration: Confirmed accepts only higher versions, from the platform and from other entries; LastRead, the baseline for comparison, uses whatever the last read of the platform returned."`
}

// Faults holds the settings of fault injection.
type Faults struct {
	Allowed bool `doc:"Whether requests on the address for operators may partition this entry from others; only for scenario tests."`
}

// DefaultEntry returns the default settings; DataCentre, OperatorToken and PeerKey have no default.
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
		MemoryMB:               256,
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
		HeadersMs:      10 * croft.Second,
		IdleMs:         90 * croft.Second,
		BodyMs:         30 * croft.Second,
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
