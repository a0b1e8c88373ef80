/** Renders measurements as an HTML page without external resources. */
import type { Measurement, MeasurementRow } from "./measurement.ts";

const BAR_WIDTH_PX = 360;
const BAR_HEIGHT_PX = 16;

const STYLE = `body{font:14px sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,td:nth-child(2){text-align:left}`;

/** Returns the page, with a table and bar charts for each measurement. */
export function renderReport(measurements: readonly Measurement[]): string {
  const sections = measurements.map(renderMeasurement).join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Measurements</title>
<style>${STYLE}</style></head><body>
<h1>Measurements</h1>
${sections}
</body></html>
`;
}

function renderMeasurement({ name, command, rows }: Measurement): string {
  const figureNames = [
    ...new Set(rows.flatMap((row) => Object.keys(row.figures))),
  ];
  const plots = figureNames.map((figure) => renderPlot(figure, rows)).join(
    "\n",
  );
  return `<h2>${escapeText(name)}</h2><p><code>${escapeText(command)}</code></p>
${renderTable(figureNames, rows)}
${plots}`;
}

function renderTable(
  figureNames: readonly string[],
  rows: readonly MeasurementRow[],
): string {
  const head = ["variant", "group", ...figureNames]
    .map((name) => `<th>${escapeText(name)}</th>`).join("");
  const body = rows.map((row) => {
    const figures = figureNames
      .map((name) => `<td>${formatNumber(row.figures[name])}</td>`).join("");
    return `<tr><td>${escapeText(row.variant)}</td>` +
      `<td>${escapeText(row.group)}</td>${figures}</tr>`;
  }).join("\n");
  return `<table><tr>${head}</tr>\n${body}</table>`;
}

function renderPlot(figure: string, rows: readonly MeasurementRow[]): string {
  const max = Math.max(1e-9, ...rows.map((row) => row.figures[figure] ?? 0));
  const bars = rows.map((row, position) => {
    const value = row.figures[figure] ?? 0;
    const width = Math.max(0, value / max * BAR_WIDTH_PX);
    const top = position * (BAR_HEIGHT_PX + 4);
    const label = escapeText(`${row.variant} ${row.group}`);
    return `<rect x="220" y="${top}" width="${width.toFixed(1)}"` +
      ` height="${BAR_HEIGHT_PX}" fill="#4678a8"/>` +
      `<text x="212" y="${top + 12}" text-anchor="end">${label}</text>` +
      `<text x="${226 + width}" y="${top + 12}">${formatNumber(value)}</text>`;
  }).join("");
  const height = rows.length * (BAR_HEIGHT_PX + 4);
  return `<h3>${escapeText(figure)}</h3>
<svg width="700" height="${height}" font-size="12">${bars}</svg>`;
}

function formatNumber(value: number | undefined): string {
  if (value === undefined) return "";
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;")
    .replaceAll('"', "&quot;");
}
