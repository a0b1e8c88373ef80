/** The part of postject that the build uses; the package has no types. */
declare module "postject" {
  /** Writes a resource into an executable. */
  export function inject(
    file: string,
    resource: string,
    content: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
