package schedule

import (
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// Report is the state that a model server reports.
type Report struct {
	// StartedAt is the start time of the server process in Unix milliseconds.
	StartedAt int64
	// Orders is the number of orders that the server has accepted since its start.
	Orders int64
	Models []LoadedModel
	// Loading holds the adapters that are being loaded.
	Loading []AdapterVersion
	// ModelLoading is true while an order for a base model is in progress.
	ModelLoading bool
	// Draining is true if the server takes no new requests.
	Draining bool
	// Notice is what the server states about whether it takes requests; it is also set in the report of a failed call.
	Notice notice.Notice
	// Limit is what the server states about its limit. Only responses to requests are known to name it whenever there is one, so that
	// a report without it does not end the limit.
	Limit throttle.Limit
}

// LoadedModel is a base model that the server holds, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Adapters []AdapterVersion
}

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Adapter Adapter
	Version int64
}

// OrderKind is the operation that an order asks for.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// Order asks the model server to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// ExpectedOrders is the number of orders that the server must have accepted before; the server rejects the order if the
	// number differs, so that an order that was delayed takes no effect.
	ExpectedOrders int64
}

// Outcome is the answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted means that the server carries out the order.
	Accepted Outcome = iota
	// Unneeded means that there was nothing to do: the server already is in the requested state.
	Unneeded
	// Rejected means that the server does not carry out the order.
	Rejected
	// Unknown means that there was no answer: the order may be carried out later unless a newer one is accepted first.
	Unknown
)

// String implements fmt.Stringer.
func (k OrderKind) String() string {
	if k == Load {
		return "load"
	}

	return "unload"
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Unneeded:
		return "holds"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}
