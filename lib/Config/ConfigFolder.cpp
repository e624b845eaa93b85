#include "catkinwing/Config/ConfigFolder.h"

#include "catkinwing/Config/JsonText.h"
#include "catkinwing/Config/RevisionedTree.h"
#include <absl/strings/match.h>
#include <algorithm>
#include <filesystem>
#include <fstream>

namespace catkinwing {

namespace {

    namespace fs = std::filesystem;

    constexpr const char* documentSuffix = ".json";

    /// Reads one folder of the tree into a LoadedTree.
    class FolderReader {
    public:
        explicit FolderReader(fs::path root)
            : m_root(std::move(root))
        {
        }

        LoadedTree load();

    private:
        /// Returns the visible entries of a folder, in order.
        std::vector<fs::path> list(const fs::path& folder);
        void loadRootEntry(const fs::path& file);
        void loadKind(DocumentKind kind, const fs::path& folder);
        void loadDocument(const DocumentPath& path, const fs::path& file);
        void report(const fs::path& file, std::vector<ConfigFault> faults);
        void report(const fs::path& file, std::string message) { report(file, { ConfigFault { "", std::move(message) } }); }

        fs::path m_root;
        LoadedTree m_result;
        RevisionedTree m_tree;
    };

    LoadedTree FolderReader::load()
    {
        for (const fs::path& file : list(m_root))
            loadRootEntry(file);
        std::sort(m_result.documents.begin(), m_result.documents.end(), [](const auto& a, const auto& b) { return a.path < b.path; });
        m_result.snapshot = m_tree.snapshot();
        return std::move(m_result);
    }

    std::vector<fs::path> FolderReader::list(const fs::path& folder)
    {
        std::vector<fs::path> files;
        std::error_code error;
        fs::directory_iterator entry(folder, error);
        while (!error && entry != fs::directory_iterator()) {
            if (!absl::StartsWith(entry->path().filename().string(), "."))
                files.push_back(entry->path());
            entry.increment(error);
        }
        if (error)
            report(folder, error.message());
        std::sort(files.begin(), files.end());
        return files;
    }

    void FolderReader::loadRootEntry(const fs::path& file)
    {
        std::string name = file.filename().string();
        if (name == DocumentPath {}.toString() + documentSuffix)
            return loadDocument(DocumentPath {}, file);
        for (DocumentKind kind : { DocumentKind::Region, DocumentKind::Model, DocumentKind::Team }) {
            if (name == documentFolder(kind))
                return loadKind(kind, file);
        }
        report(file, "expected global.json, regions, models or teams");
    }

    void FolderReader::loadKind(DocumentKind kind, const fs::path& folder)
    {
        for (const fs::path& file : list(folder)) {
            std::string name = file.stem().string();
            if (file.extension() != documentSuffix || !isDocumentName(name))
                report(file, "expected NAME.json with a name of 1 to 63 lower-case letters, digits and hyphens");
            else
                loadDocument(DocumentPath { kind, name }, file);
        }
    }

    void FolderReader::loadDocument(const DocumentPath& path, const fs::path& file)
    {
        std::ifstream stream(file, std::ios::binary);
        // One byte more than is allowed is enough to see that it is too large.
        std::string text(maximumDocumentBytes + 1, '\0');
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
        if (!stream.is_open() || stream.bad() || (stream.fail() && !stream.eof()))
            return report(file, "the file can't be read");
        text.resize(static_cast<std::size_t>(stream.gcount()));
        OfferResult result = m_tree.offer(TreeEntry { path, 1, std::make_shared<std::string>(text) });
        if (result.outcome == OfferOutcome::Invalid)
            return report(file, std::move(result.faults));
        m_result.documents.push_back({ path, std::move(text) });
    }

    void FolderReader::report(const fs::path& file, std::vector<ConfigFault> faults)
    {
        m_result.faults.push_back({ file.lexically_relative(m_root).string(), std::move(faults) });
    }

} // namespace

LoadedTree loadTree(const std::string& folder)
{
    return FolderReader(folder).load();
}

} // namespace catkinwing
