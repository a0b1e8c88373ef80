/**
 * Splits a file into YAML documents. Each document is padded with as many empty
 * lines as precede it, so that findings have the line numbers of the file.
 */

const SEPARATOR = /^---\s*$/;

/** Returns the text of each document; empty documents are left out. */
export function splitYamlDocuments(text: string): string[] {
  const documents: string[] = [];
  let lines: string[] = [];
  const finishDocument = (position: number) => {
    if (lines.some((line) => /\S/.test(line.replace(/#.*/, "")))) {
      documents.push(lines.join("\n"));
    }
    lines = Array.from({ length: position + 1 }, () => "");
  };
  text.split("\n").forEach((line, position) => {
    if (SEPARATOR.test(line)) finishDocument(position);
    else lines.push(line);
  });
  finishDocument(0);
  return documents;
}
