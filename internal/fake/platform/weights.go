package platform

import (
	"net/http"
	"strconv"
)

// handleWeights sends zero bytes in place of weights. All readers share one rate
// limit.
func (p *Platform) handleWeights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.weightReads++
	p.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(p.config.WeightBytes))
	piece := make([]byte, weightPieceBytes)
	for left := p.config.WeightBytes; left > 0; {
		n := min(left, len(piece))
		if err := p.weights.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		left -= n
	}
}
