package measure

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// series names one measured quantity over all fleet sizes.
type series struct{ kind, subject, quantity string }

type dataPoint struct{ x, y float64 }

// lineFit is a least-squares line y = intercept + slope x.
type lineFit struct {
	intercept, slope float64
	// slopeError is the standard error of the slope; 0 with fewer than three
	// points.
	slopeError float64
	// residual is the root mean square of the residuals.
	residual float64
}

// fitLine fits a line to at least two points with different x. It reports false
// if there are none.
func fitLine(points []dataPoint) (lineFit, bool) {
	n := float64(len(points))
	var sx, sy float64
	for _, p := range points {
		sx += p.x
		sy += p.y
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.x - sx/n) * (p.x - sx/n)
		sxy += (p.x - sx/n) * (p.y - sy/n)
	}
	if len(points) < 2 || sxx == 0 {
		return lineFit{}, false
	}
	f := lineFit{slope: sxy / sxx}
	f.intercept = sy/n - f.slope*sx/n
	squares := 0.0
	for _, p := range points {
		residual := p.y - f.at(p.x)
		squares += residual * residual
	}
	f.residual = math.Sqrt(squares / n)
	if n > 2 {
		f.slopeError = math.Sqrt(squares / (n - 2) / sxx)
	}
	return f, true
}

func (f lineFit) at(x float64) float64 { return f.intercept + f.slope*x }

// fitPower fits log y = intercept + slope log x, so that the slope is the power
// of x with which y grows. It reports false if a value is not positive.
func fitPower(points []dataPoint) (lineFit, bool) {
	logs := make([]dataPoint, len(points))
	for i, p := range points {
		if p.x <= 0 || p.y <= 0 {
			return lineFit{}, false
		}
		logs[i] = dataPoint{math.Log(p.x), math.Log(p.y)}
	}
	return fitLine(logs)
}

// addPoints adds the values of one size to the points of the fits.
func (s *Slopes) addPoints(kind, subject string, size Size, values map[string]float64) {
	for quantity, y := range values {
		key := series{kind, subject, quantity}
		s.points[key] = append(s.points[key], dataPoint{float64(size.Instances), y})
	}
}

// printValues prints values as one line and adds them to the points of the fits.
func (s *Slopes) printValues(kind, subject string, size Size, values map[string]float64) {
	s.addPoints(kind, subject, size, values)
	fields := []string{"kind=" + kind, size.String(), "subject=" + subject}
	for _, quantity := range sortedNames(values) {
		fields = append(fields, fmt.Sprintf("%s=%.4g", quantity, values[quantity]))
	}
	fmt.Fprintln(s.Out, strings.Join(fields, " "))
}

func sortedNames(values map[string]float64) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// printFits prints a line for each quantity with at least three points that are
// not all zero. x is the number of instances.
func (s *Slopes) printFits() {
	keys := make([]series, 0, len(s.points))
	for key := range s.points {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b series) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), strings.Compare(a.subject, b.subject), strings.Compare(a.quantity, b.quantity))
	})
	for _, key := range keys {
		points := s.points[key]
		zero := !slices.ContainsFunc(points, func(p dataPoint) bool { return p.y != 0 })
		line, ok := fitLine(points)
		if len(points) < 3 || zero || !ok {
			continue
		}
		text := fmt.Sprintf("kind=fit of=%s subject=%s quantity=%s points=%d intercept=%.4g slope_per_instance=%.4g slope_error=%.4g residual=%.4g at_500=%.4g",
			key.kind, key.subject, key.quantity, len(points), line.intercept, line.slope, line.slopeError, line.residual, line.at(500))
		if power, ok := fitPower(points); ok {
			text += fmt.Sprintf(" power=%.3f power_error=%.3f power_at_500=%.4g",
				power.slope, power.slopeError, math.Exp(power.at(math.Log(500))))
		}
		fmt.Fprintln(s.Out, text)
	}
}

// ReadResults replaces the points of the fits by the values of lines that earlier
// runs printed, so that the sizes of several runs can be fitted together. It skips
// fits and lines without a size, and returns a *LineError for a line that has no
// subject or no number of instances, or the error of the reader.
func (s *Slopes) ReadResults(r io.Reader) error {
	s.points = map[series][]dataPoint{}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := map[string]string{}
		values := map[string]float64{}
		for _, field := range strings.Fields(scanner.Text()) {
			name, text, _ := strings.Cut(field, "=")
			fields[name] = text
			if y, err := strconv.ParseFloat(text, 64); err == nil {
				values[name] = y
			}
		}
		if fields["kind"] == "fit" || fields["instances"] == "" {
			continue
		}
		x, ok := values["instances"]
		if !ok || fields["subject"] == "" {
			return &LineError{Line: scanner.Text()}
		}
		for _, name := range []string{"instances", "upstreams", "services"} {
			delete(values, name)
		}
		s.addPoints(fields["kind"], fields["subject"], Size{Instances: int(x)}, values)
	}
	return scanner.Err()
}

// LineError reports a line that Slopes did not print.
type LineError struct{ Line string }

func (e *LineError) Error() string {
	return fmt.Sprintf("line has no subject or no number of instances: %q", e.Line)
}

// PrintFits prints the fits of the values that ReadResults read.
func (s *Slopes) PrintFits() { s.printFits() }
