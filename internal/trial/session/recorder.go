// Package session runs one entry, one agent and its backend server in one process and records the messages between them.
package session

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
)

var (
	// randomID matches identifiers of package ident.
	randomID = regexp.MustCompile(`\b([a-z]+)-[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	// epochFields matches the epochs of lists of resident adapters, which begin at a random number.
	epochFields = regexp.MustCompile(`"(residentEpoch|residentKnown)":"(\d+)"`)
	// timeFields matches fields whose value depends on the time at which a message is sent.
	timeFields = regexp.MustCompile(`"(remainingMs|unixMs|created)":("?)\d+"?`)
	// optionalTimeFields matches time-dependent fields that are omitted when they are 0.
	optionalTimeFields = regexp.MustCompile(`,?"(configAgeMs|loadWaitMs|queueWaitMs)":"\d+"`)
	// countFields matches the request counts of an agent, which vary when one request ends and another starts at the same
	// time.
	countFields = regexp.MustCompile(`"(running|queued)":\d+,`)
)

// Recorder collects messages in the order in which they are sent or received. The zero value is ready to use.
type Recorder struct {
	mu    sync.Mutex
	lines []string
	// replacements maps random identifiers to their replacements, which are numbered by first appearance for each prefix.
	replacements map[string]string
	// counts is the number of identifiers seen for each prefix.
	counts map[string]int
}

// Record records a message between two parties, or an event at one party if to is empty.
func (r *Recorder) Record(from, to, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	text = randomID.ReplaceAllStringFunc(text, r.replaceID)
	text = epochFields.ReplaceAllStringFunc(text, r.replaceEpoch)
	text = countFields.ReplaceAllString(text, "")
	text = optionalTimeFields.ReplaceAllString(timeFields.ReplaceAllString(text, `"$1":${2}N$2`), "")

	if to != "" {
		from += " → " + to
	}

	r.lines = append(r.lines, from+": "+text+"\n")
}

// String returns the record, one line for each message or event.
func (r *Recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return strings.Join(r.lines, "")
}

// replaceEpoch replaces the epoch in a field.
func (r *Recorder) replaceEpoch(field string) string {
	parts := epochFields.FindStringSubmatch(field)

	return `"` + parts[1] + `":"` + r.replaceID("epoch-"+parts[2]) + `"`
}

// replaceID returns the replacement of a random identifier.
func (r *Recorder) replaceID(id string) string {
	if known, ok := r.replacements[id]; ok {
		return known
	}

	if r.replacements == nil {
		r.replacements = map[string]string{}
		r.counts = map[string]int{}
	}

	prefix, _, _ := strings.Cut(id, "-")
	r.counts[prefix]++
	r.replacements[id] = fmt.Sprintf("%s-%d", prefix, r.counts[prefix])

	return r.replacements[id]
}
