/** SHA-256 digests. */
import { hash } from "node:crypto";

/** Returns the SHA-256 digest of UTF-8 text in lower-case hexadecimal. */
export function sha256Hex(text: string): string {
  return hash("sha256", text, "hex");
}
