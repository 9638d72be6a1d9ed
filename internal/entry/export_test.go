package entry

// RecheckCertificates makes the server check the certificate files for changes at
// every following handshake.
func (s *Server) RecheckCertificates() {
	for _, c := range []*certificateFiles{&s.callersCertificate, &s.peersCertificate} {
		c.mu.Lock()
		c.recheckInterval = 1
		c.mu.Unlock()
	}
}
