package fleet

// Parse parses a fleet file. It returns the configuration and all findings. file is the
// file name in findings.
func Parse(file string, toml []byte) (Config, Findings) {
	var c Config
	positions, findings := Decode(file, toml, &c)
	if positions == nil {
		return Config{}, findings
	}
	reported := make(map[string]bool)
	for _, f := range findings {
		reported[f.Key] = true
	}
	for _, f := range checkConfig(c) {
		if !reported[f.path] {
			findings = append(findings, positions.Finding(file, f.path, f.message))
		}
	}
	return c.sorted(), findings.sorted()
}
