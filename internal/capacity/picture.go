package capacity

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	pictureWidth  = 12 * vg.Centimeter
	pictureHeight = 8 * vg.Centimeter
)

// Draw plots the points and the line into the file Name.png in directory.
func (s *Slope) Draw(directory string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.CostUnit
	p.X.Min = 0
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	last := 0.0
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Cost}
		last = max(last, point.Size)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("draw points of %s: %w", s.Name, err)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.At(0)}, {X: last, Y: s.At(last)}})
	if err != nil {
		return fmt.Errorf("draw line of %s: %w", s.Name, err)
	}
	p.Add(plotter.NewGrid(), scatter, line)
	if err := p.Save(pictureWidth, pictureHeight, filepath.Join(directory, s.Name+".png")); err != nil {
		return fmt.Errorf("save picture of %s: %w", s.Name, err)
	}
	return nil
}
