package schedule

// Report is what a model server says of itself.
type Report struct {
	// Born is the start of the server in Unix milliseconds.
	StartedAt int64
	// Orders is the number of orders that the server has accepted since its start.
	Orders int64
	Models []LoadedModel
	// Pending holds the adapters in transit.
	Pending []AdapterVersion
	// Busy says that an order for a model is in progress.
	ModelLoading bool
	// Leaving says that the server takes no new requests.
	Draining bool
}

// Loaded is a model with its adapters.
type LoadedModel struct {
	Name     string
	Adapters []AdapterVersion
}

// Resident is an adapter at a version.
type AdapterVersion struct {
	Adapter Adapter
	Version int64
}

// OrderKind says what an order asks for.
type OrderKind int

// The kinds of order.
const (
	Load OrderKind = iota
	Unload
)

// Order asks the model server to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// Expected is the number of orders that the server must have accepted before, so that a late order is void.
	ExpectedOrders int64
}

// Outcome is the answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted says that the order is carried out.
	Accepted Outcome = iota
	// Holds says that nothing was to be done.
	Holds
	// Rejected says that the order is not carried out.
	Rejected
	// Unknown says that there was no answer: the order may be carried out later unless a newer one is accepted first.
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
	case Holds:
		return "holds"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}
