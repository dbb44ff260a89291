package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/edge"
)

// explainReport contains the explanation of one chivemast-edge instance, or the error if
// it gave none.
type explainReport struct {
	Address     string            `json:"address"`
	Error       string            `json:"error,omitempty"`
	Explanation *edge.Explanation `json:"explanation,omitempty"`
}

// explainResult is the result of the command edge explain.
type explainResult struct {
	Instances []explainReport `json:"instances"`
	// Differences lists what the explanations of the instances do not agree on.
	Differences []explainDifference `json:"differences"`
}

// explainDifference is a row of the explanation whose values differ. Values holds that of
// each instance with an explanation, in their order.
type explainDifference struct {
	Name   string   `json:"name"`
	Values []string `json:"values"`
}

// notExplainedError reports that Count of the Total instances asked gave no explanation.
type notExplainedError struct{ Count, Total int }

func (e *notExplainedError) Error() string {
	return fmt.Sprintf("%d of %d instances gave no explanation; see the output for each", e.Count, e.Total)
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a new flow would go now, and why, without sending anything",
		ArgsUsage: "METRICS_ADDRESS...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller", Usage: "`IP:PORT` of the caller"},
			&cli.StringFlag{Name: "service", Usage: "`IP:PORT` of the service address"},
			&cli.StringFlag{Name: "seq", Usage: "initial sequence `NUMBER` of the flow, which the choice depends on too; seq in the log"},
			&cli.BoolFlag{Name: "json", Usage: "same as --output json"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	if c.Bool("json") {
		if err := c.Root().Set("output", outputJSON); err != nil {
			return err
		}
	}
	if !c.Args().Present() {
		return usageErrorf("edge explain needs the metrics address of at least one instance, as HOST:PORT")
	}
	if _, _, err := edge.ParseFlow(c.String("caller"), c.String("service"), c.String("seq")); err != nil {
		return &usageError{Err: err}
	}
	query := url.Values{"caller": {c.String("caller")}, "service": {c.String("service")}, "seq": {c.String("seq")}}
	result := explainResult{Differences: []explainDifference{}}
	missing := 0
	for _, address := range c.Args().Slice() {
		report := explainReport{Address: address}
		explanation, err := queryExplanation(ctx, address, query)
		if isError[*usageError](err) {
			return err
		}
		if err != nil {
			report.Error = err.Error()
			missing++
		}
		report.Explanation = explanation
		result.Instances = append(result.Instances, report)
	}
	rows := explainRows(result.Instances)
	for _, row := range rows {
		if row.compared && row.differs() {
			result.Differences = append(result.Differences, explainDifference{Name: row.name, Values: row.values})
		}
	}
	err := writeResult(c, result, func(w io.Writer) { writeExplanations(w, result.Instances, rows) })
	if err == nil && missing > 0 {
		err = &notExplainedError{Count: missing, Total: len(result.Instances)}
	}
	return err
}

func queryExplanation(ctx context.Context, address string, query url.Values) (*edge.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/explain?"+query.Encode(), nil)
	if err != nil {
		return nil, usageErrorf("metrics address %q is not valid: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // The answer has been read; an error of Close changes nothing.
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.New("runs an earlier version, which cannot explain decisions")
	default:
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024)) // The status alone is worth reporting.
		return nil, fmt.Errorf("answered /explain with HTTP status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	explanation := &edge.Explanation{}
	if err := json.NewDecoder(response.Body).Decode(explanation); err != nil {
		return nil, fmt.Errorf("decode its answer to /explain: %w", err)
	}
	return explanation, nil
}

// explainRow is one property of the explanations, with the value of each instance. Only
// compared rows count as differences: each instance has its own name and ages.
type explainRow struct {
	name     string
	compared bool
	values   []string
}

func (r *explainRow) differs() bool {
	return slices.ContainsFunc(r.values, func(value string) bool { return value != r.values[0] })
}

func explainRows(reports []explainReport) []*explainRow {
	var rows []*explainRow
	add := func(name string, compared bool, value func(*edge.Explanation) string) {
		row := &explainRow{name: name, compared: compared}
		for _, report := range reports {
			if report.Explanation != nil {
				row.values = append(row.values, value(report.Explanation))
			}
		}
		rows = append(rows, row)
	}
	add("instance", false, func(x *edge.Explanation) string { return x.Instance })
	add("failure domain", false, func(x *edge.Explanation) string { return x.FailureDomain })
	add("state", true, func(x *edge.Explanation) string { return instanceReadiness(x.Ready, x.ShuttingDown) })
	add("decision", true, func(x *edge.Explanation) string { return x.Action + " " + x.Reason })
	add("route", true, describeRoute)
	add("split", true, describeSplit)
	add("service", true, describeService)
	add("domain", true, func(x *edge.Explanation) string { return orNone(x.Domain + " " + x.DomainCause) })
	add("upstream", true, func(x *edge.Explanation) string { return orNone(x.Upstream + " " + x.Tier) })
	add("admission", true, describeAdmission)
	add("extra attempt", true, describeHedge)
	add("configuration", true, func(x *edge.Explanation) string { return fmt.Sprintf("version %d", x.ConfigVersion) })
	for _, kind := range []string{"upstreams", "configuration", "evacuations"} {
		add(kind+" age", false, func(x *edge.Explanation) string {
			age, known := x.AgeMS[kind]
			if !known {
				return "unknown"
			}
			return (time.Duration(age) * time.Millisecond).String()
		})
	}
	add("reports age", false, describeReportsAge)
	return rows
}

// describeReportsAge describes the age of the reports on requests in flight.
func describeReportsAge(x *edge.Explanation) string {
	switch a := x.Admission; {
	case a == nil || x.Service == nil || !x.Service.Short:
		return "not used"
	case a.ReportsAgeMS < 0:
		return "no reports"
	default:
		return (time.Duration(a.ReportsAgeMS) * time.Millisecond).String()
	}
}

// orNone returns a text without spaces around it, or "none" when nothing is left.
func orNone(text string) string {
	if text = strings.TrimSpace(text); text == "" {
		return "none"
	}
	return text
}

func describeRoute(x *edge.Explanation) string {
	if x.Route == nil {
		return "none"
	}
	text := fmt.Sprintf("%s priority %d", x.Route.Name, x.Route.Priority)
	if x.Route.LatencyGoalMS > 0 {
		text += fmt.Sprintf(" goal %dms", x.Route.LatencyGoalMS)
	}
	if x.Route.Idempotent {
		text += " idempotent"
	}
	return text
}

func describeAdmission(x *edge.Explanation) string {
	a := x.Admission
	switch {
	case a == nil:
		return "not decided"
	case x.Service == nil || !x.Service.Short:
		return a.Reason
	}
	return fmt.Sprintf("%s %dms of %dms", a.Reason, a.ExpectedMS, a.BoundMS)
}

func describeHedge(x *edge.Explanation) string {
	switch h := x.Hedge; {
	case h == nil:
		return "none"
	case h.DelayMS == 0:
		return h.Result
	default:
		return strings.TrimSpace(fmt.Sprintf("%s after %.0fms %s", h.Result, h.DelayMS, h.Upstream))
	}
}

func describeSplit(x *edge.Explanation) string {
	if x.Route == nil {
		return "none"
	}
	var shares []string
	for _, share := range x.Route.Split {
		shares = append(shares, fmt.Sprintf("%s:%d", share.Name, share.Weight))
	}
	return strings.Join(shares, " ")
}

func describeService(x *edge.Explanation) string {
	if x.Service == nil {
		return "none"
	}
	text := x.Service.Name + " " + x.ServiceCause
	if x.Service.Short {
		text += ", short of capacity"
	}
	return text
}

// writeExplanations writes the rows with one column for each instance, those that differ
// marked, and then the upstreams that each instance considered.
func writeExplanations(w io.Writer, reports []explainReport, rows []*explainRow) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		mark := " "
		if row.compared && row.differs() {
			mark = "*"
		}
		if len(row.values) > 0 {
			fmt.Fprintf(table, "%s %s\t%s\n", mark, row.name, strings.Join(row.values, "\t"))
		}
	}
	_ = table.Flush() // Writes to the terminal are not checked anywhere.
	for _, report := range reports {
		if report.Explanation == nil {
			fmt.Fprintf(w, "%s: %s\n", report.Address, report.Error)
			continue
		}
		writeUpstreams(w, report.Explanation)
	}
}

// writeUpstreams writes the failure domains and upstreams that an instance considered.
func writeUpstreams(w io.Writer, x *edge.Explanation) {
	if x.Service == nil {
		return
	}
	fmt.Fprintf(w, "%s:\n", x.Instance)
	for _, service := range x.Route.Split {
		fmt.Fprintf(w, "  service %s: weight %d, short %t, %.2f requests in flight per slot\n", service.Name, service.Weight, service.Short, service.Occupancy)
	}
	for _, d := range x.Domains {
		occupancy := "not reported"
		if d.OccupancyKnown {
			occupancy = fmt.Sprintf("%.2f", d.Occupancy)
		}
		fmt.Fprintf(w, "  failure domain %s: own %t, heard %t, %d usable upstreams, %d slots, occupancy %s, advantage %.2f\n",
			d.Name, d.Own, d.Heard, d.Usable, d.Capacity, occupancy, d.Advantage)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "  \tupstream\tdomain\tstate\ttier\tload\tslots\tin flight\texpected ms\n")
	for _, list := range [][]edge.ExplainedUpstream{x.Candidates, x.LeftOut} {
		for _, u := range list {
			mark := " "
			if u.Chosen {
				mark = ">"
			}
			tier := u.Tier
			if tier == "" {
				tier = "left out"
			}
			fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%.1f\t%.1f\n", mark, u.ID, u.Domain, u.State, tier, u.Load, u.Capacity, u.InFlight, u.ExpectedMS)
		}
	}
	_ = table.Flush() // Writes to the terminal are not checked anywhere.
}
