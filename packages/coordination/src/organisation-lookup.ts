import type * as declaration from '@camphorwharf/declaration';

/** Finds organisations by name, with one index for each published document. */
export class OrganisationLookup {
  private readonly indexes = new WeakMap<
    declaration.PublishedDocument,
    ReadonlyMap<string, declaration.Organisation>
  >();

  find(
    document: declaration.PublishedDocument,
    name: string,
  ): declaration.Organisation | null {
    let index = this.indexes.get(document);
    if (!index) {
      index = new Map(document.organisations.map(item => [item.name, item]));
      this.indexes.set(document, index);
    }
    return index.get(name) ?? null;
  }
}
