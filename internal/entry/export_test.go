package entry

// RecheckCertificates has the files of the certificates looked at in every
// handshake from now on.
func (s *Server) RecheckCertificates() {
	for _, c := range []*certificateFiles{&s.callersCertificate, &s.peersCertificate} {
		c.mu.Lock()
		c.recheck = 1
		c.mu.Unlock()
	}
}
