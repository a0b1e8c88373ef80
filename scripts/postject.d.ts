/** Types of the one function that the build uses; postject ships no types. */
declare module "postject" {
  /** Injects a resource into an executable file, which it overwrites. */
  export function inject(
    file: string,
    resource: string,
    content: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
