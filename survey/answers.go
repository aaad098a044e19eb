package survey

import (
	"embed"

	"waxwing.example/croft"
)

// Answers are the answers to the questionnaire, written as JSON with comments.
type Answers struct {
	// Firm is the name of the organisation.
	Firm        string
	DataCentres []croft.DataCentre
	// WorkersPerDataCentre is the number of VMs in each data centre.
	WorkersPerDataCentre int
	// Worker is the size of each VM.
	Worker Worker
	// RackSize is the number of VMs in a rack; all VMs of a rack may fail at once.
	RackSize int
	// Slots is how many requests an executor runs concurrently.
	Slots int
	// FailuresADay is how many of a thousand VMs fail per day.
	FailuresADay int
	// RepairDays is how many days the repair of a failed VM takes.
	RepairDays int
	Teams      []Team
	Services   []Service
}

// Worker is the size of a VM.
type Worker struct {
	Cores        int64
	MemoryGB     int64
	Accelerators int64
}

// Team is an owner of services and its resource quota.
type Team struct {
	Name         string
	Cores        int64
	MemoryGB     int64
	Accelerators int64
}

// Service is the description of a service by its team.
type Service struct {
	Name string
	// Trade says in a few words what the service is for.
	Trade string
	Team  string
	// Tolerance is how many of a million requests may be answered late or not be run at all.
	Tolerance int64
	// WaveSize is how many of the service's VMs may be in maintenance at once.
	WaveSize int
	Kinds    []Kind
}

// Kind is a request kind of a service.
type Kind struct {
	Name string
	// Urgent is Now, Today or Whenever.
	Urgent Urgency
	// Wait is the longest time that a caller waits for an answer.
	Wait croft.Millis
	// Work is the mean run time of a request.
	Work croft.Millis
	// Repeatable says that requests are idempotent: running one twice does no harm.
	Repeatable bool
	// RequestsAMinute is the mean request rate.
	RequestsAMinute int64
	// Burst is the highest rate at which the tolerance must still be kept, as a multiple of the mean rate.
	Burst int64
}

// Urgency is the urgency of a request kind, as it is named in the answers.
type Urgency string

// The urgencies, the most urgent first.
const (
	UrgentNow      Urgency = "Now"
	UrgentToday    Urgency = "Today"
	UrgentWhenever Urgency = "Whenever"
)

// urgencies maps the urgencies to the priorities of the configuration.
var urgencies = map[Urgency]int{UrgentNow: 0, UrgentToday: 1, UrgentWhenever: 2}

//go:embed testdata/saeng.jsonc testdata/sohar.jsonc
var examples embed.FS

// Examples lists the names of the example questionnaires.
func Examples() []string { return []string{"saeng", "sohar"} }

// Example returns the example questionnaire with the given name and whether it exists.
func Example(name string) ([]byte, bool) {
	text, err := examples.ReadFile("testdata/" + name + ".jsonc")
	return text, err == nil
}
