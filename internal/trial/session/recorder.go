// Package session runs one entry, one agent and its backend server in one process, and records what they say to each other.
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
	// epoch matches epochs of resident lists, which begin at a random number.
	epoch = regexp.MustCompile(`"(residentEpoch|residentKnown)":"(\d+)"`)
	// timing matches fields that depend on the moment at which a message is sent.
	timing = regexp.MustCompile(`"(remainingMs|unixMs|created)":("?)\d+"?`)
	// age matches such fields that are absent when they are 0.
	age = regexp.MustCompile(`,?"(configAgeMs|loadWaitMs|queueWaitMs)":"\d+"`)
	// count matches the numbers of requests at an agent; requests that end and start at the same moment race for them.
	count = regexp.MustCompile(`"(running|queued)":\d+,`)
)

// Recorder collects messages in the order in which they are sent or received. The zero value is ready.
type Recorder struct {
	mu    sync.Mutex
	lines []string
	// numbers replaces random identifiers by the order of their first appearance, counted for each prefix.
	numbers map[string]string
	counts  map[string]int
}

// Note adds a message, or a remark without receiver.
func (r *Recorder) Note(from, to, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	text = randomID.ReplaceAllStringFunc(text, r.number)
	text = epoch.ReplaceAllStringFunc(text, r.epoch)
	text = count.ReplaceAllString(text, "")
	text = age.ReplaceAllString(timing.ReplaceAllString(text, `"$1":${2}N$2`), "")

	if to != "" {
		from += " → " + to
	}

	r.lines = append(r.lines, from+": "+text+"\n")
}

// String returns everything recorded, one line for each message.
func (r *Recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return strings.Join(r.lines, "")
}

func (r *Recorder) epoch(field string) string {
	parts := epoch.FindStringSubmatch(field)

	return `"` + parts[1] + `":"` + r.number("epoch-"+parts[2]) + `"`
}

func (r *Recorder) number(id string) string {
	if known, ok := r.numbers[id]; ok {
		return known
	}

	if r.numbers == nil {
		r.numbers = map[string]string{}
		r.counts = map[string]int{}
	}

	prefix, _, _ := strings.Cut(id, "-")
	r.counts[prefix]++
	r.numbers[id] = fmt.Sprintf("%s-%d", prefix, r.counts[prefix])

	return r.numbers[id]
}
