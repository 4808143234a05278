package settings

// Clients are limits on what clients outside the deployment's control may use of one process.
type Clients struct {
	// MemoryBytes is the memory that they may use together; 0 means a share of the machine's memory.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// Connections is the number of connections at the port that serves them; 0 means a share of the
	// process's descriptors.
	Connections int `yaml:"connections"`
}

// Validate implements Validator.
func (c *Clients) Validate() (field, problem string) {
	switch {
	case c.MemoryBytes < 0:
		return "memory_bytes", "must not be negative"
	case c.Connections < 0:
		return "connections", "must not be negative"
	}
	return "", ""
}
