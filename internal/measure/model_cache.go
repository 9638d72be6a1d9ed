package measure

// lookup returns the length of the cached prefix of blocks.
func (s *modelServer) lookup(blocks []uint64) int {
	for i, h := range blocks {
		e, ok := s.cached[h]
		if !ok {
			return i
		}
		s.cache.MoveToFront(e)
	}
	return len(blocks)
}

func (s *modelServer) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		h := blocks[i]
		if e, ok := s.cached[h]; ok {
			s.cache.MoveToFront(e)
			continue
		}
		s.cached[h] = s.cache.PushFront(h)
		s.stored = append(s.stored, h)
	}
}

func (s *modelServer) shrinkCache() {
	maxBlocks := (serverKVTokens - s.kvUsed()) / blockTokens
	for s.cache.Len() > maxBlocks {
		e := s.cache.Back()
		h := e.Value.(uint64)
		s.cache.Remove(e)
		delete(s.cached, h)
		s.removed = append(s.removed, h)
	}
}
