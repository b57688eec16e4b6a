/** Renders plots with logarithmic axes as SVG. */

/** One curve. */
export interface Curve {
    readonly label: string;
    readonly color: string;
    readonly value: (size: number) => number;
}

/** A plot of curves over the number of instances. */
export interface Chart {
    readonly title: string;
    readonly unit: string;
    /** Powers of ten of the vertical axis. */
    readonly decades: readonly [low: number, high: number];
    readonly curves: readonly Curve[];
    readonly budget: number;
}

const width = 720;
const height = 400;
const left = 70;
const right = 500;
const top = 40;
const bottom = 350;
const smallest = 10;
const largest = 5_000;
const steps = 40;

/** Renders the plot as an SVG document. */
export const renderChart = ({ title, unit, decades: [low, high], curves, budget }: Chart): string => {
    const x = (size: number) => left + (right - left) * Math.log(size / smallest) / Math.log(largest / smallest);
    const y = (value: number) => {
        const share = (Math.log10(Math.max(value, 10 ** low)) - low) / (high - low);
        return bottom - (bottom - top) * Math.min(1, share);
    };
    const text = (atX: number, atY: number, content: string, more = "") =>
        `<text x="${atX.toFixed(1)}" y="${atY.toFixed(1)}" ${more}>${content}</text>`;
    const line = (x1: number, y1: number, x2: number, y2: number, more: string) =>
        `<line x1="${x1.toFixed(1)}" y1="${y1.toFixed(1)}" x2="${x2.toFixed(1)}" y2="${y2.toFixed(1)}" ${more}/>`;
    const sizes = Array.from({ length: steps + 1 }, (_, index) => smallest * (largest / smallest) ** (index / steps));
    const grid = Array.from({ length: high - low + 1 }, (_, index) => low + index).flatMap(power => [
        line(left, y(10 ** power), right, y(10 ** power), `stroke="#ddd"`),
        text(left - 6, y(10 ** power) + 4, (10 ** power).toLocaleString("en-US"), `text-anchor="end"`),
    ]);
    const ticks = [44, 200, 1_000, 3_700].flatMap(size => [
        line(x(size), top, x(size), bottom, `stroke="#eee"`),
        text(x(size), bottom + 16, `${size}`, `text-anchor="middle"`),
    ]);
    const drawn = curves.flatMap(({ label, color, value }, index) => [
        `<polyline fill="none" stroke="${color}" stroke-width="2" points="${
            sizes.map(size => `${x(size).toFixed(1)},${y(value(size)).toFixed(1)}`).join(" ")
        }"/>`,
        text(right + 12, top + 20 + index * 20, label, `fill="${color}"`),
    ]);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        text(left, 24, title, `font-size="14"`),
        ...grid,
        ...ticks,
        line(left, y(budget), right, y(budget), `stroke="#c00" stroke-dasharray="6 4"`),
        text(right + 12, top, `budget ${budget.toLocaleString("en-US")} ${unit}`, `fill="#c00"`),
        ...drawn,
        text((left + right) / 2, height - 12, `instances (vertical axis: ${unit})`, `text-anchor="middle"`),
        "</svg>",
        "",
    ].join("\n");
};
