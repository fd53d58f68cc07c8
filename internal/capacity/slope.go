// Package capacity measures how the cost of each component of an entry host grows with
// the size of the installation, and plots the measured slopes. docs/CAPACITY.md derives the
// cost at the planned size from them.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the measured cost at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a series of measurements and the straight line fitted to them.
type Slope struct {
	// Name identifies the slope and names the file of its plot.
	Name string `json:"name"`
	// Title is the title of the plot.
	Title string `json:"title"`
	// SizeUnit and CostUnit label the axes.
	SizeUnit string  `json:"sizeunit"`
	CostUnit string  `json:"costunit"`
	Points   []Point `json:"points"`
	// Base and Rise are the line Cost = Base + Rise * Size.
	Base float64 `json:"base"`
	Rise float64 `json:"rise"`
	// Residual is the largest vertical distance of a point from the line, divided by the
	// largest cost.
	Residual float64 `json:"residual"`
}

// minPoints is the smallest number of sizes to which a line is fitted.
const minPoints = 4

// fit computes the least-squares line and its residual.
func (s *Slope) fit() error {
	if len(s.Points) < minPoints {
		return fmt.Errorf("slope %s: %d sizes: want at least %d", s.Name, len(s.Points), minPoints)
	}
	sizes := make([]float64, len(s.Points))
	costs := make([]float64, len(s.Points))
	for i, p := range s.Points {
		sizes[i], costs[i] = p.Size, p.Cost
	}
	s.Base, s.Rise = stat.LinearRegression(sizes, costs, nil, false)
	largest, distance := 0.0, 0.0
	for _, p := range s.Points {
		largest = math.Max(largest, math.Abs(p.Cost))
		distance = math.Max(distance, math.Abs(p.Cost-s.At(p.Size)))
	}
	if largest > 0 {
		s.Residual = distance / largest
	}
	return nil
}

// At returns the cost at a size according to the line.
func (s *Slope) At(size float64) float64 { return s.Base + s.Rise*size }

// String formats the slope as a row of a Markdown table.
func (s *Slope) String() string {
	return fmt.Sprintf("| %s | %s | %.4g + %.4g per %s | %.1f%% |",
		s.Name, s.CostUnit, s.Base, s.Rise, s.SizeUnit, 100*s.Residual)
}

// Measure takes the measurements of one component and returns their slopes.
type Measure func() ([]Slope, error)

// All returns the measurements of all components.
func All() []Measure {
	return []Measure{Member, Configuration, Limits, Promotion, Supervisor, Document, Frontend}
}
