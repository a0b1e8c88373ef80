/**
 * Splits a file of YAML documents. Each document keeps its place: it is led by
 * as many empty lines as stand before it, so that findings name the file's line.
 */

const SEPARATOR = /^---\s*$/;

/** The documents of a file, without empty ones. */
export function splitYamlDocuments(text: string): string[] {
  const documents: string[] = [];
  let lines: string[] = [];
  const finish = (position: number) => {
    if (lines.some((line) => /\S/.test(line.replace(/#.*/, "")))) {
      documents.push(lines.join("\n"));
    }
    lines = Array.from({ length: position + 1 }, () => "");
  };
  text.split("\n").forEach((line, position) => {
    if (SEPARATOR.test(line)) finish(position);
    else lines.push(line);
  });
  finish(0);
  return documents;
}
