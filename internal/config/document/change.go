package document

import (
	"encoding/json"
	"time"
)

// Section names a part of the document; an edit changes one item of one section.
type Section string

// The sections. SectionDefault holds one item, named DefaultName.
const (
	SectionDefault   Section = "default"
	SectionException Section = "exception"
	SectionAccount   Section = "account"
	SectionKey       Section = "key"
	SectionDomain    Section = "domain"
	SectionVM        Section = "vm"
	SectionModel     Section = "model"
	SectionAdapter   Section = "adapter"
	SectionRoute     Section = "route"
)

// DefaultName is the name of the only item of SectionDefault.
const DefaultName = "fleet"

// Edit sets or deletes one item.
type Edit struct {
	Section Section `json:"section"`
	// Name is the name of the item within the section.
	Name string `json:"name"`
	// Value is the whole item; empty deletes it.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is a set of edits that leads from Version-1 to Version. It is the log entry and the audit record.
type Change struct {
	// Version is the version of the document after the change.
	Version int64 `json:"version"`
	// ID identifies the change, so that a writer that got no response can find out whether it was committed.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason"`
	Edits  []Edit    `json:"edits"`
}
