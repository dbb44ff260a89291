package telemetry

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal, retry or drop reason in the metrics that the operators'
// page does not explain. A label that two counters share needs a row in the section of
// each.
func TestOperatorsPageExplainsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for heading, labels := range map[string][]string{
		"### Refusals":        refusalLabels(),
		"### Retries":         retryLabels(),
		"### Dropped packets": allDropLabels(),
	} {
		_, section, found := strings.Cut(string(page), heading+"\n")
		require.True(t, found, heading)
		section, _, _ = strings.Cut(section, "\n#")
		var rows []string
		for line := range strings.Lines(section) {
			if cells := strings.Split(line, "|"); len(cells) == 5 {
				rows = append(rows, strings.Trim(cells[1], " `"))
				require.NotEmpty(t, strings.TrimSpace(cells[2]), line)
				require.NotEmpty(t, strings.TrimSpace(cells[3]), line)
			}
		}
		for i, label := range labels {
			if label == "" { // unused index between the two lists of drop reasons
				require.Equal(t, int(firstRequestDropReason), i)
				continue
			}
			require.True(t, slices.Contains(rows, label), "%s: no row for %s", heading, label)
		}
	}
}
