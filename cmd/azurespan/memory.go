package main

const (
	// memoryLimitShare is the runtime's soft memory limit as a share of the memory that
	// the settings allow, and minMemoryLimitShare the least such share.
	memoryLimitShare, minMemoryLimitShare = 0.75, 0.4
	// outsideMemory is what the runtime doesn't count: the resident pages of the program
	// (24 MB measured) and what it allocates before a collection has ended.
	outsideMemory = 48 << 20
)

// softMemoryLimit returns the runtime's soft memory limit for a process that may take so
// many bytes.
func softMemoryLimit(memory int64) int64 {
	limit := min(int64(memoryLimitShare*float64(memory)), memory-outsideMemory)
	return max(limit, int64(minMemoryLimitShare*float64(memory)))
}
