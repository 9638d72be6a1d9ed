package fleet

// Parse reads a fleet file and returns its configuration with every finding.
// The name is the file that findings give.
func Parse(name string, toml []byte) (Config, Findings) {
	var c Config
	places, findings := Decode(name, toml, &c)
	if places == nil {
		return Config{}, findings
	}
	faulty := make(map[string]bool)
	for _, f := range findings {
		faulty[f.Key] = true
	}
	for _, f := range check(c) {
		if !faulty[f.path] {
			findings = append(findings, places.Finding(name, f.path, f.message))
		}
	}
	return c.sorted(), findings.sorted()
}
