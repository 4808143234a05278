package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// A token has the form "RUN.INDEX ". RUN is a random number that is chosen for every text
// generated without a prefix, so that two texts for the same prompt differ in every token
// and CheckTokens detects a text that mixes two runs. A text that continues a prefix keeps
// the prefix's run.

// formatToken returns the token at index i of a run.
func formatToken(run uint32, i int) string {
	return fmt.Sprintf("%x.%d ", run, i)
}

// parseToken returns the run and index of a token.
func parseToken(t string) (run uint32, index int, err error) {
	left, right, ok := strings.Cut(strings.TrimSuffix(t, " "), ".")
	if !ok {
		return 0, 0, errors.Errorf("token %q has no index", t)
	}
	r, err := strconv.ParseUint(left, 16, 32)
	if err != nil {
		return 0, 0, errors.Annotatef(err, "token %q", t)
	}
	index, err = strconv.Atoi(right)
	return uint32(r), index, errors.Annotatef(err, "token %q", t)
}

// CheckTokens returns an error unless tokens are the consecutive tokens of one run from
// index 0, with none missing or repeated and none of another run.
func CheckTokens(tokens []string) error {
	var first uint32
	for i, t := range tokens {
		run, index, err := parseToken(t)
		if err != nil {
			return errors.Trace(err)
		}
		if i == 0 {
			first = run
		}
		if run != first {
			return errors.Errorf("token %d is of run %x, the text is of run %x", i, run, first)
		}
		if index != i {
			return errors.Errorf("token %d has index %d", i, index)
		}
	}
	return nil
}
