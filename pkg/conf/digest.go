package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// digestBuckets is the number of buckets among which the files are divided, so that
// a changed file changes only one bucket.
const digestBuckets = 256

// digest identifies a set of files by a hash over the hashes of its buckets. It
// does not depend on the order in which files were added or removed.
type digest struct {
	buckets *[digestBuckets][]fileHash // by first byte of the hash; each is sorted
	hash    string
}

// fileHash is the SHA-256 hash of a file's name and content.
type fileHash [32]byte

func hashFile(file File) fileHash {
	hash := sha256.New()
	hash.Write([]byte(file.Name))
	hash.Write([]byte{0})
	hash.Write(file.Content)
	return fileHash(hash.Sum(nil))
}

// with returns the digest without the removed and with the added documents.
func (d digest) with(removed, added []*document) digest {
	buckets := new([digestBuckets][]fileHash)
	if d.buckets != nil {
		*buckets = *d.buckets
	}
	copied := make(map[byte]bool)
	copyBucket := func(bucket byte) {
		if !copied[bucket] {
			copied[bucket] = true
			buckets[bucket] = slices.Clone(buckets[bucket])
		}
	}
	for _, doc := range removed {
		copyBucket(doc.hash[0])
		if at := slices.Index(buckets[doc.hash[0]], doc.hash); at >= 0 {
			buckets[doc.hash[0]] = slices.Delete(buckets[doc.hash[0]], at, at+1)
		}
	}
	for _, doc := range added {
		copyBucket(doc.hash[0])
		hashes := buckets[doc.hash[0]]
		at, _ := slices.BinarySearchFunc(hashes, doc.hash, func(a, b fileHash) int { return slices.Compare(a[:], b[:]) })
		buckets[doc.hash[0]] = slices.Insert(hashes, at, doc.hash)
	}
	return digest{buckets, rootHash(buckets)}
}

// rootHash returns the first 8 bytes of the hash over all buckets, in hexadecimal.
func rootHash(buckets *[digestBuckets][]fileHash) string {
	root := sha256.New()
	for i := range buckets {
		bucket := sha256.New()
		for _, hash := range buckets[i] {
			bucket.Write(hash[:])
		}
		root.Write(bucket.Sum(nil))
	}
	return hex.EncodeToString(root.Sum(nil)[:8])
}
