package fleet

import "time"

// Change is a change of the list of servers; it is one of the types of this file.
type Change interface {
	change()
}

// Listed is a server that was added to the list, or whose row has changed.
type Listed struct {
	Server Server
}

// Removed is a server that vanished from the list.
type Removed struct {
	ID string
	// At is when the server is no longer used, unless it is listed again before.
	At time.Time
}

func (Listed) change()  {}
func (Removed) change() {}
