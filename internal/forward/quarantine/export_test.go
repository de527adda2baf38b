package quarantine

// Tracked returns the number of crashes that are kept as evidence.
func (t *Tracker) Tracked() int {
	return len(t.crashes)
}
